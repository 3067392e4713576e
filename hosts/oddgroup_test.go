package hosts_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher/hosts"
)

// group returns the JSON of a group with one live host.
func group(name, address string) string {
	return fmt.Sprintf(`{"targets":[%q],"labels":{"name":%q,"kind":"engine","zone":"a","state":"live","text":"]},[{\" \\"}}`, address, name)
}

// TestOddGroupsAreSkipped guards against a list that is not followed because of one odd group.
func TestOddGroupsAreSkipped(t *testing.T) {
	const depth = 200_000
	nested := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	odd := map[string]string{
		"nested": nested, "nested label": `{"targets":["192.0.2.9:80"],"labels":` + nested + `}`,
		"number label": `{"targets":["192.0.2.9:80"],"labels":{"name":1e400}}`, "number": "1e400", "null": "null",
		"bytes": "\xff\x00", "port out of range": group("x", "192.0.2.9:70000"), "port 0": group("x", "192.0.2.9:0"),
		"no port": group("x", "192.0.2.9"), "host name": group("x", "engine.example:80"), "targets of another type": `{"targets":"192.0.2.9:80"}`,
	}
	for name, element := range odd {
		t.Run(name, func(t *testing.T) {
			list := "[" + group("e1", "192.0.2.1:80") + " , " + element + "," + group("e2", "192.0.2.2:80") + "]\n"
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, list) }))
			defer server.Close()
			log := logrus.New()
			log.SetOutput(io.Discard)
			client := &hosts.Client{URL: server.URL, Log: log}
			got, err := client.List(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			var names []string
			for _, h := range got {
				names = append(names, h.Name())
			}
			if diff := cmp.Diff([]string{"e1", "e2"}, names); diff != "" {
				t.Errorf("hosts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTruncatedListIsRefused guards against a list of which a part is taken for the whole.
func TestTruncatedListIsRefused(t *testing.T) {
	list := "[" + group("e1", "192.0.2.1:80") + "," + group("e2", "192.0.2.2:80") + "]"
	length := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, list[:length]) }))
	defer server.Close()
	client := &hosts.Client{URL: server.URL}
	for length = range len(list) + 1 {
		got, err := client.List(context.Background())
		if (err == nil) != (length == len(list)) {
			t.Fatalf("%d of %d bytes: %d hosts, error %v", length, len(list), len(got), err)
		}
	}
}
