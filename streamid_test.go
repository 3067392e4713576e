package peridotusher

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

const testSecret = "secret-of-the-tests-with-32-characters"

var testPosition = StreamPosition{
	Engine: "engine-a1", Stream: "s:1", Offset: 7, Base: 3,
	Organisation: "shop", Request: "r1", Router: "router-a1", Permit: "p1",
}

func TestEventIDRoundTrip(t *testing.T) {
	got, err := ParseEventID(testSecret, testPosition.EventID(testSecret))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(testPosition, got); diff != "" {
		t.Errorf("position (-want +got):\n%s", diff)
	}
}

func TestEventIDIsSigned(t *testing.T) {
	id := testPosition.EventID(testSecret)
	for i := range id {
		forged := []byte(id)
		forged[i] ^= 4
		if got, err := ParseEventID(testSecret, string(forged)); err == nil && got != testPosition {
			t.Fatalf("forged id %s was accepted as %+v", forged, got)
		}
	}
	if _, err := ParseEventID("another", id); err == nil {
		t.Error("id with another secret's signature was accepted")
	}
}

func FuzzParseEventID(f *testing.F) {
	f.Add(testPosition.EventID(testSecret))
	f.Add("")
	f.Fuzz(func(t *testing.T, id string) {
		p, err := ParseEventID(testSecret, id)
		if err != nil {
			return
		}
		again, err := ParseEventID(testSecret, p.EventID(testSecret))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(p, again); diff != "" {
			t.Errorf("position (-want +got):\n%s", diff)
		}
	})
}
