package peridotusher

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestActiveShares(t *testing.T) {
	tests := []struct {
		versions string
		engines  [][]string
		want     []VersionShare
	}{
		{"v1:90, v2:10", [][]string{{"v1"}, {"v1"}}, []VersionShare{{"v1", 90}, {"v2", 0}, {"v1", 10}}},
		{"v1:90, v2:10", [][]string{{"v1", "v2"}, {"v1"}}, []VersionShare{{"v1", 90}, {"v2", 10}, {"v2", 0}}},
		{"v2:100", [][]string{{"v1", "v2"}, {"v1"}, {"v1"}, {"v1"}}, []VersionShare{{"v2", 25}, {"v1", 75}}},
		{"v2:100", [][]string{{"v2"}, {"v2"}, {"v1"}}, []VersionShare{{"v2", 66}, {"v1", 34}}},
		{"v2:100", [][]string{{"v2"}, {"v2"}}, []VersionShare{{"v2", 100}, {"v2", 0}}},
		{"v2:100", nil, []VersionShare{{"v2", 0}, {"", 100}}},
	}
	for _, test := range tests {
		var state []PlannedEngine
		for i, versions := range test.engines {
			state = append(state, planEngine(fmt.Sprintf("e%d", i), versions...))
		}
		model, _ := planDocument(t, "versions = "+test.versions, "").Model("m")
		if diff := cmp.Diff(test.want, ActiveShares(model, placementEngines(state))); diff != "" {
			t.Errorf("%s on %v (-want +got):\n%s", test.versions, test.engines, diff)
		}
	}
}

func TestChatChangesItsVersionOnce(t *testing.T) {
	model, _ := planDocument(t, "versions = v2:100", "").Model("m")
	const chats, engines = 200, 10
	last := map[ChatKey]string{}
	for ready := 0; ready <= engines; ready++ {
		var state []PlannedEngine
		for i := range engines {
			versions := []string{"v1"}
			if i < ready {
				versions = append(versions, "v2")
			}
			state = append(state, planEngine(fmt.Sprintf("e%d", i), versions...))
		}
		for n := range chats {
			chat := ChatKey(fmt.Sprintf("chat-%d", n))
			version := ActiveVersion(model, placementEngines(state), chat)
			if last[chat] == "v2" && version != "v2" {
				t.Fatalf("%s returned to %s with %d engines ready", chat, version, ready)
			}
			last[chat] = version
		}
	}
	for chat, version := range last {
		if version != "v2" {
			t.Errorf("%s ended on %s", chat, version)
		}
	}
}
