package routing

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func sealed(d *Document) *Document {
	d.Seal()
	return d
}

func TestMatch(t *testing.T) {
	d := sealed(&Document{Routes: []*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example:80", "/x/1", "short"},
		{"A.example", "/x/1", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	}
	for _, tt := range tests {
		got := ""
		if r, ok := d.Match(tt.host, tt.path); ok {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("Match(%q, %q) = %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestServiceByWeight(t *testing.T) {
	r := &Route{Shares: []Share{{"a", 90}, {"b", 0}, {"c", 10}}}
	got := []string{r.Service(0), r.Service(0.89), r.Service(0.91), r.Service(0.999)}
	if diff := cmp.Diff([]string{"a", "a", "c", "c"}, got); diff != "" {
		t.Errorf("services (-want +got):\n%s", diff)
	}
	if got := (&Route{}).Service(0.5); got != "" {
		t.Errorf("service of an empty route = %q", got)
	}
}

func TestOfferIgnoresEarlierVersions(t *testing.T) {
	c := NewCurrent()
	offers := []struct {
		version int64
		want    bool
	}{{5, true}, {4, false}, {5, false}, {6, true}, {5, false}, {9, true}, {6, false}}
	for _, o := range offers {
		if got := c.Offer(&Document{Version: o.version}); got != o.want {
			t.Errorf("Offer(version %d) = %v, want %v", o.version, got, o.want)
		}
	}
	if c.Load().Version != 9 {
		t.Errorf("current version = %d, want 9", c.Load().Version)
	}
}

func TestKeys(t *testing.T) {
	d := sealed(&Document{Organisations: []*Organisation{{Name: "shop", Keys: []string{"k1", "k2"}}}})
	if o, ok := d.Organisation("k2"); !ok || o.Name != "shop" {
		t.Errorf("organisation with k2 = %v, %v", o, ok)
	}
	if _, ok := d.Organisation("k3"); ok {
		t.Error("an organisation has the unknown key k3")
	}
	if !d.RequiresKeys() || sealed(&Document{}).RequiresKeys() {
		t.Error("keys are not required exactly when there are organisations")
	}
}
