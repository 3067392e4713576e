package main

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"peridotusher.example/peridotusher/config"
)

// basePrefix begins the first line of a document that get prints; the revision follows.
const basePrefix = "# revision "

// baseLine returns the first line that get prints, which names the revision.
func baseLine(revision uint64) string { return fmt.Sprintf("%s%d\n", basePrefix, revision) }

// splitBaseLine returns the revision that the first line names, and the text with that line
// emptied, so that line numbers stay the same. Without such a line the revision is zero.
func splitBaseLine(text []byte) (uint64, []byte) {
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

// printDifference prints a section's lines with those that an edit removes or adds marked; it
// prints nothing if there are none.
func printDifference(cmd *cli.Command, snap *config.Snapshot, edit config.Edit) {
	old := splitLines(snap.Text(edit.Header))
	next := splitLines(edit.Text)
	w := cmd.Root().Writer
	if strings.Join(old, "\n") == strings.Join(next, "\n") {
		return
	}
	fmt.Fprintf(w, "[%s] version %d\n", edit.Header, snap.Version(edit.Header))
	for _, line := range diffLines(old, next) {
		fmt.Fprintln(w, line)
	}
}

// splitLines splits a text into lines, without trailing empty ones.
func splitLines(text string) []string {
	text = strings.TrimRight(text, " \t\r\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// diffLines returns the lines of both texts, each after "-" if removed, "+" if added or a space
// if common. The common lines are a longest common subsequence.
func diffLines(old, next []string) []string {
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

// commonLengths returns the table of the lengths of the longest common subsequences: entry
// [i][j] is that of old[i:] and next[j:].
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
