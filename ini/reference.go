package ini

import (
	"fmt"
	"strings"
)

// Reference returns the table of a section kind's keys in Markdown.
func Reference[T any](header string, fields []Field[T]) string {
	var b strings.Builder
	fmt.Fprintf(&b, "### [%s]\n\n", header)
	b.WriteString("| key | default | allowed | meaning |\n|---|---|---|---|\n")
	for _, field := range fields {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", field.Name, defaultText(field), cell(field.Value.allowed), cell(field.Text))
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
		return "`" + cell(field.Default) + "`"
	}
}

func cell(text string) string { return strings.ReplaceAll(text, "|", `\|`) }
