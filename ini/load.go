package ini

import "os"

// Load reads a file and parses its text. If the file cannot be read,
// it returns only that problem.
func Load[T any](path string, parse func(name string, text []byte) (*T, []Problem)) (*T, []Problem) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []Problem{NewProblem(path, 0, err.Error())}
	}
	return parse(path, text)
}
