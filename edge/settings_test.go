package edge

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// renderSettings returns deploy/edge.ini with the platform's values filled in.
func renderSettings(t *testing.T, optional bool) string {
	t.Helper()
	text, err := os.ReadFile("../deploy/edge.ini")
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]string{
		"node": "edge-a-1", "zone": "a", "limits.memory-mb": "284", "limits.max-fds": "4100", "listen.front": "10.1.0.40:8227", "listen.ready": "10.1.0.40:8220",
		"ip": "10.1.0.40", "internal-port-range": "7340,7355", "seeds": "10.1.0.40:8229,10.2.0.29:8229", "platform.addr": "10.200.1.7:8223",
		"bounds.drain-ms": "2000", "bounds.grace-s": "8", "bounds.retry-budget-ratio": "0.2",
		"contracts":             "base,drain,pressure",
		"bounds.cold-overshoot": "1.5", "bounds.cold-slack": "5",
		"bounds.retry-budget-extra": "56", "bounds.budget-window-s": "10", "bounds.cap-multiplier": "2",
	}
	zones := ""
	if optional {
		zones = "a:eu,b:eu,c:us"
	}
	list := regexp.MustCompile(`\{\{#zones}}.*\{\{/zones}}`)
	text = list.ReplaceAll(text, []byte(zones)) // empty if the platform defines no zones
	section := regexp.MustCompile(`(?s)\{\{#([^}]*)}}(.*?)\{\{/([^}]*)}}\n?`)
	out := section.ReplaceAllStringFunc(string(text), func(m string) string {
		parts := section.FindStringSubmatch(m)
		if parts[1] != parts[3] {
			t.Errorf("section %s of the template is closed as %s", parts[1], parts[3])
		}
		if !optional {
			return ""
		}
		return parts[2]
	})
	return regexp.MustCompile(`\{\{([^}]*)}}`).ReplaceAllStringFunc(out, func(m string) string {
		name := strings.Trim(m, "{}")
		value, ok := values[name]
		if !ok {
			t.Errorf("the template contains the unknown variable %s", name)
		}
		return value
	})
}

func TestSettingsTemplate(t *testing.T) {
	for _, seeds := range []bool{true, false} {
		s, problems := Parse("edge.ini", []byte(renderSettings(t, seeds)))
		if len(problems) > 0 {
			t.Fatalf("problems: %v", problems)
		}
		want := boundSection{drainTime: 2 * time.Second, stopGrace: 8 * time.Second, retryRatio: 0.2, retryExtra: 56, retryWindow: 10 * time.Second, maxLoadFactor: 2, successTarget: 0.95, coldOvershoot: 1.5, coldSlack: 5}
		if !seeds {
			want.coldOvershoot, want.coldSlack = 1, 0
		}
		if diff := cmp.Diff(want, s.bounds, cmp.AllowUnexported(boundSection{})); diff != "" {
			t.Errorf("bounds (-want +got):\n%s", diff)
		}
		wantSeeds := []string{"10.1.0.40:8229", "10.2.0.29:8229"}
		if !seeds {
			wantSeeds = nil
		}
		if diff := cmp.Diff(wantSeeds, s.peers.seeds); diff != "" {
			t.Errorf("seeds (-want +got):\n%s", diff)
		}
		wantRegions := map[string]string{"a": "eu", "b": "eu", "c": "us"}
		if !seeds {
			wantRegions = map[string]string{}
		}
		if diff := cmp.Diff(wantRegions, s.router.regions); diff != "" {
			t.Errorf("regions (-want +got):\n%s", diff)
		}
		wantContracts := []string{"base", "drain", "pressure"}
		if !seeds {
			wantContracts = nil
		}
		if diff := cmp.Diff(wantContracts, s.admission.contracts); diff != "" {
			t.Errorf("contracts (-want +got):\n%s", diff)
		}
		if s.Name() != "edge-a-1" || s.StoreAddress() != "10.200.1.7:8223" || s.PeerAddress() != "10.1.0.40" {
			t.Errorf("settings = %+v", s)
		}
	}
}

func TestInvalidSettings(t *testing.T) {
	tests := []struct{ name, from, to string }{
		{"missing name", "name = edge-a-1\n", ""},
		{"no address", "clients = 10.1.0.40:8227", "clients = here"},
		{"negative time", "drain = 2000ms", "drain = -1s"},
		{"zone without region", "zones = a:eu", "zones = a"},
		{"zone with an empty region", "zones = a:eu", "zones = a:"},
		{"zone in two regions", "zones = a:eu", "zones = b:us"},
		{"unknown key", "[store]", "[store]\ncolour = red"},
		{"unknown section", "[store]", "[shop]\n[store]"},
	}
	for _, tt := range tests {
		text := renderSettings(t, true)
		if !strings.Contains(text, tt.from) {
			t.Fatalf("%s: the template lacks %q", tt.name, tt.from)
		}
		if s, problems := Parse("edge.ini", []byte(strings.Replace(text, tt.from, tt.to, 1))); s != nil || len(problems) == 0 {
			t.Errorf("%s: no problem was reported", tt.name)
		}
	}
}
