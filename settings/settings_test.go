package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/ini"
)

const example = "../examples/router.ini"

func TestLoadExample(t *testing.T) {
	got, problems := Load(example)
	if len(problems) > 0 {
		t.Fatalf("problems:\n%s", lines(problems))
	}
	want := &Settings{
		router: Router{name: "router-a-1", zone: "a", log: "info", settle: 2 * time.Second, drain: time.Minute},
		caller: Caller{
			listen: "127.0.0.1:8000", header: 16384, body: 4194304, concurrent: 4096, conns: 16384, heads: 64 << 20,
			read: 5 * time.Second, bodytime: 30 * time.Second, idle: time.Minute,
		},
		operator: Operator{listen: "127.0.0.1:8001", key: document.HashKey("router-example-operator-key")},
		peer:     Peer{listen: "127.0.0.1:8002", advertise: "127.0.0.1:8002", budget: 6000},
		store:    Store{addresses: []string{"127.0.0.1:7001"}, timeout: 2 * time.Second, prefix: "peridotusher"},
		hosts:    Hosts{url: "http://127.0.0.1:7002/hosts", every: 2 * time.Second},
		weights:  Weights{url: "http://127.0.0.1:7003"},
		stream:   Stream{secret: "example-secret-of-the-whole-fleet-change-it"},
	}
	all := cmp.AllowUnexported(Settings{}, Router{}, Caller{}, Operator{}, Peer{}, Store{}, Hosts{}, Weights{}, Stream{})
	if diff := cmp.Diff(want, got, all); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

// TestParseBadFiles compares the problems of each testdata/NAME.ini with NAME.problems.
func TestParseBadFiles(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.ini")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no bad files: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			cfg, problems := Parse(filepath.Base(path), []byte(read(t, path)))
			if cfg != nil {
				t.Errorf("Parse returned settings")
			}
			want := read(t, strings.TrimSuffix(path, ".ini")+".problems")
			if diff := cmp.Diff(want, lines(problems)); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}

func TestPeerChecks(t *testing.T) {
	certificates := "cert = c.pem\nkey = k.pem\nca = a.pem\n"
	for _, tc := range []struct {
		name, address, keys string
		want                []string
	}{
		{"loopback", "127.0.0.1:1", "", nil},
		{"certificates", "10.0.0.1:1", certificates, nil},
		{"plain allowed", "10.0.0.1:1", "plain = yes\n", nil},
		{"plain refused", "10.0.0.1:1", "", []string{"plain"}},
		{"plain and certificates", "10.0.0.1:1", certificates + "plain = yes\n", []string{"plain"}},
		{"some certificates", "10.0.0.1:1", "cert = c.pem\n", []string{"cert"}},
		{"unreachable", "0.0.0.0:1", "plain = yes\n", []string{"advertise"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.ReplaceAll(read(t, example), "127.0.0.1:8002", tc.address)
			text = strings.Replace(text, "plain = no\n", tc.keys, 1)
			_, problems := Parse("peer.ini", []byte(text))
			var got []string
			for _, p := range problems {
				got = append(got, p.Key())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("keys with problems (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCheckFile(t *testing.T) {
	for _, tc := range []struct {
		path string
		want int
	}{
		{example, 0},
		{"../examples/kalimera.ini", 0},
		{"../examples/malabar.ini", 0},
		{"../document/testdata/classless.ini", 1},
		{"testdata/missing.ini", 7},
	} {
		problems, err := CheckFile(tc.path)
		if err != nil || len(problems) != tc.want {
			t.Errorf("CheckFile(%s) = %v, %v; want %d problems", tc.path, problems, err, tc.want)
		}
	}
	if _, err := CheckFile("testdata/none"); err == nil {
		t.Error("CheckFile of an absent file returned no error")
	}
}

func TestReference(t *testing.T) {
	row := "| `budget` | `6000` | a whole number from 100 to 1073741824 | Control traffic, in bytes per second. |\n"
	if !strings.Contains(Reference(), row) {
		t.Errorf("no row %q in:\n%s", row, Reference())
	}
}

func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func lines(problems []ini.Problem) string {
	var b strings.Builder
	for _, p := range problems {
		b.WriteString(p.String() + "\n")
	}
	return b.String()
}
