package testbed

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Build compiles the peridotusher program into dir and returns its path.
func Build(ctx context.Context, dir string) (string, error) {
	binary := filepath.Join(dir, "peridotusher")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", binary, "peridotusher.example/peridotusher/cmd/peridotusher")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "go build: %s", out)
	}
	return binary, nil
}

// Tests runs the tests of a package. testing.M implements it.
type Tests interface{ Run() int }

// RunTests builds the program for the tests of a package, sets binary to its path, runs
// them and returns their exit code.
func RunTests(m Tests, binary *string) int {
	dir, err := os.MkdirTemp("", "peridotusher-tests")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if *binary, err = Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
