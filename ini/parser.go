package ini

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	errInvalid    = errors.New("is not valid")
	errOutOfRange = errors.New("is out of range")
	errEmpty      = errors.New("is an empty value")
)

// Parser parses a value of type V and describes the allowed values.
type Parser[V any] struct {
	allowed string
	parse   func(text string) (V, error)
}

// NewParser returns a parser that uses parse; allowed describes the allowed values to operators.
func NewParser[V any](allowed string, parse func(text string) (V, error)) Parser[V] {
	return Parser[V]{allowed: allowed, parse: parse}
}

// Int returns a parser of whole numbers from low to high.
func Int(low, high int) Parser[int] {
	parse := func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		if err != nil {
			return 0, errInvalid
		}
		if n < low || n > high {
			return 0, errOutOfRange
		}
		return n, nil
	}
	return NewParser(fmt.Sprintf("a whole number from %d to %d", low, high), parse)
}

// Float returns a parser of decimal numbers from low to high.
func Float(low, high float64) Parser[float64] {
	parse := func(text string) (float64, error) {
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(x) {
			return 0, errInvalid
		}
		if x < low || x > high {
			return 0, errOutOfRange
		}
		return x, nil
	}
	return NewParser(fmt.Sprintf("a number from %v to %v", low, high), parse)
}

// Percent returns a parser of percentages such as 99.5%, from low to high per cent.
// The parsed value is a fraction: 99.5% is 0.995.
func Percent(low, high float64) Parser[float64] {
	const percent = 100
	number := Float(low, high)
	parse := func(text string) (float64, error) {
		digits, ok := strings.CutSuffix(text, "%")
		if !ok {
			return 0, errInvalid
		}
		x, err := number.parse(digits)
		return x / percent, err
	}
	return NewParser(fmt.Sprintf("a percentage from %v%% to %v%%", low, high), parse)
}

// Duration returns a parser of durations such as 500ms or 2m30s, from low to high.
func Duration(low, high time.Duration) Parser[time.Duration] {
	parse := func(text string) (time.Duration, error) {
		d, err := time.ParseDuration(text)
		if err != nil {
			return 0, errInvalid
		}
		if d < low || d > high {
			return 0, errOutOfRange
		}
		return d, nil
	}
	return NewParser(fmt.Sprintf("a time with its unit from %v to %v", low, high), parse)
}

// Bool returns a parser of yes and no.
func Bool() Parser[bool] {
	parse := func(text string) (bool, error) {
		if text != "yes" && text != "no" {
			return false, errInvalid
		}
		return text == "yes", nil
	}
	return NewParser("yes, no", parse)
}

// OneOf returns a parser of the listed words.
func OneOf[V ~string](words ...V) Parser[V] {
	list := make([]string, len(words))
	for i, w := range words {
		list[i] = string(w)
	}
	parse := func(text string) (V, error) {
		for _, w := range words {
			if text == string(w) {
				return w, nil
			}
		}
		return "", errInvalid
	}
	return NewParser(strings.Join(list, ", "), parse)
}

// String returns a parser of any text that is not empty.
func String() Parser[string] {
	parse := func(text string) (string, error) {
		if text == "" {
			return "", errEmpty
		}
		return text, nil
	}
	return NewParser("any text", parse)
}

// Name returns a parser of names that are valid in a section's header.
func Name() Parser[string] {
	parse := func(text string) (string, error) {
		if !validName(text) {
			return "", errInvalid
		}
		return text, nil
	}
	return NewParser("a name of letters, digits and . _ - / :", parse)
}

// Address returns a parser of IP:port addresses.
func Address() Parser[string] {
	parse := func(text string) (string, error) {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return "", errInvalid
		}
		return text, nil
	}
	return NewParser("IP:port", parse)
}

// List returns a parser of comma-separated lists without empty or repeated items.
func List[V comparable](item Parser[V]) Parser[[]V] {
	parse := func(text string) ([]V, error) {
		if text == "" {
			return nil, errEmpty
		}
		var list []V
		seen := map[V]bool{}
		for _, part := range strings.Split(text, ",") {
			v, err := item.parse(strings.TrimSpace(part))
			if err != nil {
				return nil, err
			}
			if seen[v] {
				return nil, errors.Newf("names %s twice", strings.TrimSpace(part))
			}
			seen[v] = true
			list = append(list, v)
		}
		return list, nil
	}
	return NewParser("a comma list, each item: "+item.allowed, parse)
}
