package demo

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/hosts"
)

const (
	// streamSecret signs the event ids of the demo's streams.
	streamSecret = "demo-secret-of-at-least-thirty-two-characters"
	// extraRouter is the router that may be started as a process of its own.
	extraRouter = "router-c3"
)

// stay prints where the fleet is reached and waits until ctx ends.
func (d *Demo) stay(ctx context.Context, f *fleet) error {
	d.say("\nThe fleet stays until Ctrl-C. Callers:")
	for _, r := range f.routers {
		d.say("  %s  %s", r.name, r.url)
	}
	d.say("Operators: --router %s --key %s", f.routers[len(f.routers)-1].host.Operator.Addr(), operatorKey)
	if d.Settings != "" {
		path, err := f.writeSettings(d.Settings)
		if err != nil {
			return err
		}
		d.say("One more router: peridotusher serve --settings %s", path)
	}
	<-ctx.Done()
	return nil
}

// writeSettings writes the settings of one more router and lists it.
func (f *fleet) writeSettings(dir string) (string, error) {
	var addresses [3]string
	for i := range addresses {
		l, err := listen()
		if err != nil {
			return "", err
		}
		addresses[i] = l.Addr().String()
		if err := l.Close(); err != nil {
			return "", err
		}
	}
	text := fmt.Sprintf(`[router]
name = %s
zone = c

[caller]
listen = %s

[operator]
listen = %s
key = %s

[peer]
listen = %s
advertise = %s

[store]
addresses = %s
prefix = %s

[hosts]
url = %s
every = 200ms

[weights]
url = %s

[stream]
secret = %s
`, extraRouter, addresses[0], addresses[1], document.HashKey(operatorKey), addresses[2], addresses[2],
		f.store.Listener.Addr(), strings.TrimSuffix(storePrefix, "/"), f.hostsURL, f.hostsURL, streamSecret)
	path := filepath.Join(dir, extraRouter+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", err
	}
	address, err := net.ResolveTCPAddr("tcp", addresses[2])
	if err != nil {
		return "", err
	}
	return path, f.listAddress(extraRouter, hosts.KindRouter, "c", address.String())
}
