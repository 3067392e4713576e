package eventlog

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// pairsField is the field of a logrus entry that holds alternating names and values in order.
const pairsField = "pairs"

const (
	// maxTextBytes is the size from which on a text is cut, since clients choose the length of some.
	maxTextBytes = 512
	// cutMark ends a text that was cut.
	cutMark = "..."
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// formatter writes an entry as key=value pairs in the order of pairsField. Its output is like
// that of logrus.TextFormatter, without the cost of a map and a sort for each line.
type formatter struct{}

var _ logrus.Formatter = formatter{}

// Format implements logrus.Formatter.
func (formatter) Format(e *logrus.Entry) ([]byte, error) {
	out := e.Buffer
	if out == nil {
		out = new(bytes.Buffer)
	}
	out.WriteString(`time="`)
	out.Write(e.Time.AppendFormat(out.AvailableBuffer(), timeFormat))
	out.WriteString(`" level=`)
	out.WriteString(e.Level.String())
	out.WriteString(" msg=")
	writeText(out, e.Message)
	pairs, _ := e.Data[pairsField].([]any) // nil for a line without fields
	for i := 0; i+1 < len(pairs); i += 2 {
		name, ok := pairs[i].(string)
		if !ok || pairs[i+1] == nil || pairs[i+1] == "" {
			continue
		}
		out.WriteByte(' ')
		out.WriteString(name)
		out.WriteByte('=')
		writeValue(out, pairs[i+1])
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}

// writeValue writes a value. Durations and floats are rounded.
func writeValue(out *bytes.Buffer, v any) {
	switch v := v.(type) {
	case string:
		writeText(out, v)
	case int:
		out.Write(strconv.AppendInt(out.AvailableBuffer(), int64(v), 10))
	case bool:
		out.Write(strconv.AppendBool(out.AvailableBuffer(), v))
	case time.Duration:
		out.WriteString(v.Round(10 * time.Microsecond).String())
	case float64:
		out.Write(strconv.AppendFloat(out.AvailableBuffer(), v, 'f', 2, 64))
	case error:
		writeText(out, v.Error())
	default:
		writeText(out, fmt.Sprint(v))
	}
}

// writeText writes a text, quoted if it could not be parsed unambiguously otherwise, up to maxTextBytes.
func writeText(out *bytes.Buffer, text string) {
	if len(text) > maxTextBytes {
		text = text[:maxTextBytes] + cutMark
	}
	if needsNoQuotes(text) {
		out.WriteString(text)
		return
	}
	out.Write(strconv.AppendQuote(out.AvailableBuffer(), text))
}

// needsNoQuotes reports whether a text has only characters that need no quotes.
func needsNoQuotes(text string) bool {
	for i := range len(text) {
		c := text[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '-' && c != '.' && c != '_' && c != '/' && c != '@' && c != '^' && c != '+' {
			return false
		}
	}
	return true
}
