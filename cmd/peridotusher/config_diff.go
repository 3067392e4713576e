package main

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher/config"
)

const basePrefix = "# revision "

// baseLine returns the first line of what get prints.
func baseLine(revision uint64) string { return fmt.Sprintf("%s%d\n", basePrefix, revision) }

// cutBaseLine returns the revision of a file's first line, zero if there is
// none, and the text with an empty line in its place.
func cutBaseLine(text []byte) (uint64, []byte) {
	first, _, _ := bytes.Cut(text, []byte("\n"))
	digits, ok := strings.CutPrefix(string(first), basePrefix)
	if !ok {
		return 0, text
	}
	revision, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 64)
	if err != nil {
		return 0, text
	}
	return revision, text[len(first):]
}

// printDifference prints the lines that an edit takes away and adds.
func printDifference(cmd *cli.Command, snap *config.Snapshot, edit config.Edit) {
	old := lines(snap.Text(edit.Header))
	next := lines(edit.Text)
	w := cmd.Root().Writer
	if strings.Join(old, "\n") == strings.Join(next, "\n") {
		return
	}
	fmt.Fprintf(w, "[%s] version %d\n", edit.Header, snap.Version(edit.Header))
	for _, line := range lineDifference(old, next) {
		fmt.Fprintln(w, line)
	}
}

// lines returns the lines of a text without the empty ones at its end.
func lines(text string) []string {
	text = strings.TrimRight(text, " \t\r\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// lineDifference returns the lines with "-", "+" or a space before them. It
// keeps a longest common sequence of lines.
func lineDifference(old, next []string) []string {
	common := commonLengths(old, next)
	var out []string
	i, j := 0, 0
	for i < len(old) || j < len(next) {
		switch {
		case i < len(old) && j < len(next) && old[i] == next[j]:
			out = append(out, " "+old[i])
			i++
			j++
		case j == len(next) || (i < len(old) && common[i+1][j] >= common[i][j+1]):
			out = append(out, "-"+old[i])
			i++
		default:
			out = append(out, "+"+next[j])
			j++
		}
	}
	return out
}

// commonLengths returns the length of the longest common sequence of each pair
// of ends.
func commonLengths(old, next []string) [][]int {
	lengths := make([][]int, len(old)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(next)+1)
	}
	for i := len(old) - 1; i >= 0; i-- {
		for j := len(next) - 1; j >= 0; j-- {
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			if old[i] == next[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			}
		}
	}
	return lengths
}
