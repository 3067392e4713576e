package ini

import (
	"strconv"
	"strings"
	"unicode"
)

func isComment(line string) bool {
	return strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";")
}

func isControl(r rune) bool { return r != '\t' && unicode.IsControl(r) }

// validHeader returns whether the text between brackets is a kind, or a kind, one space and a name.
func validHeader(header string) bool {
	kind, name, named := strings.Cut(header, " ")
	return validWord(kind) && (!named || validName(name))
}

// validWord returns whether s is a kind or a key name: one or more of a-z.
func validWord(s string) bool {
	return s != "" && strings.IndexFunc(s, func(r rune) bool { return r < 'a' || r > 'z' }) < 0
}

func validName(s string) bool {
	return s != "" && strings.IndexFunc(s, func(r rune) bool { return !isNameRune(r) }) < 0
}

func isNameRune(r rune) bool {
	return unicode.IsLetter(r) || unicode.IsDigit(r) || strings.ContainsRune("._-/:", r)
}

func number(n int) string { return strconv.Itoa(n) }

func quote(s string) string { return strconv.Quote(s) }
