package ini

import (
	"fmt"
	"strings"
)

// Reference returns a Markdown table of a section kind's keys.
func Reference[T any](header string, fields []Field[T]) string {
	var b strings.Builder
	fmt.Fprintf(&b, "### [%s]\n\n", header)
	b.WriteString("| key | default | allowed | meaning |\n|---|---|---|---|\n")
	for _, field := range fields {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", field.Name, defaultText(field), escapeCell(field.Value.allowed), escapeCell(field.Text))
	}
	return b.String()
}

func defaultText[T any](field Field[T]) string {
	switch {
	case field.Required:
		return "required"
	case field.Default == "":
		return "none"
	default:
		return "`" + escapeCell(field.Default) + "`"
	}
}

func escapeCell(text string) string { return strings.ReplaceAll(text, "|", `\|`) }
