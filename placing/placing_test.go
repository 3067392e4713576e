package placing

import "testing"

func fleet(n int) []Candidate {
	zones := []string{"a", "b", "c"}
	var cs []Candidate
	for i := range n {
		cs = append(cs, Candidate{Hash: uint32(i + 1), Zone: zones[i%3], Slots: 64, Held: 4})
	}
	return cs
}

func TestPromptStaysHome(t *testing.T) {
	cs := fleet(18)
	moved := 0
	for key := range uint64(1000) {
		before, _ := Prompt{Key: key * 7919}.Choose(cs)
		after, _ := Prompt{Key: key * 7919}.Choose(cs[1:])
		if cs[before.Index].Hash != cs[1:][after.Index].Hash {
			moved++
		}
	}
	if moved < 20 || moved > 100 {
		t.Errorf("%d of 1000 keys moved when one of 18 replicas left, want about 56", moved)
	}
}

func TestPromptLeavesLoadedHome(t *testing.T) {
	cs := fleet(18)
	p := Prompt{Key: 99}
	home, _ := p.Choose(cs)
	cs[home.Index].Held = 30
	next, _ := p.Choose(cs)
	if next.Index == home.Index || next.Reason != "next" {
		t.Errorf("choice = %+v, want another replica than %d", next, home.Index)
	}
}

func TestPromptLeavesReadingHome(t *testing.T) {
	cs := fleet(18)
	p := Prompt{Key: 99}
	home, _ := p.Choose(cs)
	cs[home.Index].Prefill = 2 * prefillBound
	if next, _ := p.Choose(cs); next.Index == home.Index {
		t.Error("a replica with long prompts waiting was chosen")
	}
}

func TestPromptLocalFirst(t *testing.T) {
	cs := fleet(18)
	for key := range uint64(50) {
		c, _ := Prompt{Key: key, Zone: "b", LocalFirst: true}.Choose(cs)
		if cs[c.Index].Zone != "b" {
			t.Fatalf("key %d went to zone %s", key, cs[c.Index].Zone)
		}
	}
}

func TestPromptWithoutRoom(t *testing.T) {
	cs := fleet(6)
	for i := range cs {
		cs[i].Held = 64
	}
	cs[4].Held = 63
	if c, ok := (Prompt{Key: 1}).Choose(cs); !ok || c.Index != 4 {
		t.Errorf("choice = %+v, %v; want the replica with one slot", c, ok)
	}
	if _, ok := (Prompt{}).Choose(nil); ok {
		t.Error("a choice among no replicas")
	}
}

func TestCallPrefersOwnZoneUntilLoaded(t *testing.T) {
	cs := []Candidate{{Hash: 1, Zone: "a", Slots: 6}, {Hash: 2, Zone: "b", Slots: 6}}
	if c, _ := (Call{Zone: "b"}).Choose(cs); c.Index != 1 {
		t.Errorf("idle: choice = %d, want the own zone", c.Index)
	}
	cs[1].Held = 3
	if c, _ := (Call{Zone: "b"}).Choose(cs); c.Index != 0 {
		t.Errorf("loaded: choice = %d, want the other zone", c.Index)
	}
}
