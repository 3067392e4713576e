package ini

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestReadValues(t *testing.T) {
	text := "; first\r\n[host a.b]\r\n  wait = 5s ; not a comment\r\npath=%(wait)s=1\\\r\nempty =\r\n[host a]\nwait = 'q'\n"
	file, problems := Read("hosts.ini", []byte(text))
	if len(problems) > 0 {
		t.Fatalf("problems: %v", problems)
	}
	type entry struct {
		Header, Key, Value string
		Line               int
	}
	var got []entry
	for _, s := range file.Sections() {
		for _, k := range s.Keys() {
			got = append(got, entry{s.Header(), k.Name(), k.Value(), k.Line()})
		}
	}
	want := []entry{
		{"host a.b", "wait", "5s ; not a comment", 3},
		{"host a.b", "path", `%(wait)s=1\`, 4},
		{"host a.b", "empty", "", 5},
		{"host a", "wait", "'q'", 7},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("keys (-want +got):\n%s", diff)
	}
}

func TestReadBadText(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"not UTF-8", "[host a]\n\xff = 1\n", "bad.ini:0: the text is not UTF-8"},
		{"control character", "[host a]\nwait = 1\x002\n", "bad.ini:2: [host a] the line holds a control character; allowed: printable text"},
		{"byte order mark", "\ufeff[host a]\n", `bad.ini:1: the line is neither a section, a key nor a comment; allowed: key = value`},
		{"library's own section", "[DEFAULT]\n", "bad.ini:1: the header [DEFAULT] is not valid; allowed: [kind] or [kind name]; a kind is a-z, a name is letters, digits and . _ - / :"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, problems := Read("bad.ini", []byte(tc.text))
			var got []string
			for _, p := range problems {
				got = append(got, p.String())
			}
			if diff := cmp.Diff([]string{tc.want}, got); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}

func TestFillHidesSecretsInProblems(t *testing.T) {
	fields := []Field[string]{{
		Name:   "key",
		Secret: true,
		Value:  Of(OneOf("right"), func(s *string) *string { return s }),
	}}
	file, _ := Read("secret.ini", []byte("[host]\nkey = wrong\n"))
	var target string
	problems := Fill(file.Sections()[0], fields, &target)
	want := []string{"secret.ini:2: [host] key: the value is not valid; allowed: right"}
	got := []string{}
	for _, p := range problems {
		got = append(got, p.String())
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}
