package edge

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestPackagesDoNotUseTimeOfDay guards against decisions by the time of day, which may jump. It
// counts the uses of time.Now in the packages of a router: only those listed are allowed, and
// deadlines, which use the monotonic part of a time.
func TestPackagesDoNotUseTimeOfDay(t *testing.T) {
	allowed := map[string]int{
		"../edge/clock.go":        2, // the start of the monotonic clock, and the incarnation
		"../eventlog/eventlog.go": 1, // timestamps of log lines
	}
	for _, dir := range []string{"edge", "mesh", "relay", "replicas", "placing", "overload", "ratelimit", "budget", "routing", "platform", "eventlog", "httpserve", "pause"} {
		files, err := filepath.Glob("../" + dir + "/*.go")
		if err != nil || len(files) == 0 {
			t.Fatalf("%s has no files: %v", dir, err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if n := strings.Count(string(text), "time.Now") - strings.Count(string(text), "time.Now().Add("); !strings.HasSuffix(file, "_test.go") && n != allowed[file] {
				t.Errorf("%s uses the time of day %d times, want %d", file, n, allowed[file])
			}
		}
	}
}
