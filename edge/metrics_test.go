package edge

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

func TestCounters(t *testing.T) {
	r := newTestRouter(t)
	r.storeAnswered("replicas", nil)
	r.storeAnswered("replicas", errors.New("refused"))
	var out bytes.Buffer
	r.set.WritePrometheus(&out)
	for _, want := range []string{
		"peridotusher_configuration_revision 0",
		"peridotusher_list_age_seconds -1",
		"peridotusher_routers 1",
		"peridotusher_active_requests 0",
		"peridotusher_ready 0",
		`peridotusher_store_calls_total{call="replicas",outcome="ok"} 1`,
		`peridotusher_store_calls_total{call="replicas",outcome="failed"} 1`,
	} {
		if !strings.Contains(out.String(), want+"\n") {
			t.Errorf("the counters lack %q:\n%s", want, out.String())
		}
	}
}
