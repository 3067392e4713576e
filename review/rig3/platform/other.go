package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// otherEntries are entries that another writer puts, by what makes each name no replica. The first text is for the
// address, the second one for the service.
var otherEntries = map[string]string{
	"born is no number":       `{"service":"%[2]s","addr":"%[1]s","zone":"attica-a","version":"v1","slots":6,"state":"ready","cold-remaining-ms":0,"seq":1,"born":null}`,
	"born is no whole number": `{"service":"%[2]s","addr":"%[1]s","zone":"attica-a","version":"v1","slots":6,"state":"ready","cold-remaining-ms":0,"seq":1,"born":1765.5}`,
	"bytes are no text":       `{"service":"%[2]s","addr":"%[1]s","zone":"attica-a","version":"` + "\xff\xfe" + `","slots":6,"state":"ready","cold-remaining-ms":0,"seq":1}`,
}

// runOther is a server of another writer: no replica, it knows no header of the platform and runs what it is sent.
func runOther(address string) int {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Printf("run %s\n", r.Header.Get("X-Attempt-Id"))
		_, _ = w.Write([]byte("ok\n")) // the caller may have left
	}))
	return exitHeld
}

// playOtherWriter lets another writer put entries that name no replica. The rule is broken by requests that its
// servers run.
func playOtherWriter(b *bed, trouble bool) (verdict, error) {
	if _, err := b.deploy(); err != nil {
		return verdict{}, err
	}
	others := make(map[string]*replica)
	self, err := os.Executable()
	if err != nil {
		return verdict{}, err
	}
	last := 51
	for name, entry := range otherEntries {
		o := &replica{id: fmt.Sprintf("o-%d", last), address: b.address(last, replicaPort)}
		last++
		others[name] = o
		if err := b.runOther(o, self); err != nil {
			return verdict{}, err
		}
		if trouble {
			b.store.putText("servers/"+o.id, fmt.Sprintf(entry, o.address, callService))
			b.note("another writer puts the entry %s of %s (%s)", o.id, o.address, name)
		}
	}
	time.Sleep(time.Second)
	sent, failed := b.startCalls(3 * time.Second).failed()
	total := 0
	var seen []string
	for name, o := range others {
		n := len(o.runTimes())
		total += n
		seen = append(seen, fmt.Sprintf("%s: %d", name, n))
	}
	return verdict{broken: total > 0, text: fmt.Sprintf("%d of %d requests ran at servers that are no replicas (%s), %d were not answered with a success", total, sent, strings.Join(seen, ", "), failed)}, nil
}
