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
	// extraRouter is the name of the router that can be started as a separate process.
	extraRouter = "router-c3"
)

// keepRunning prints the addresses of the fleet and waits until ctx is canceled.
func (d *Demo) keepRunning(ctx context.Context, f *fleet) error {
	d.printLine("\nThe fleet stays until Ctrl-C. Callers:")
	for _, r := range f.routers {
		d.printLine("  %s  %s", r.name, r.url)
	}
	d.printLine("Operators: --router %s --key %s", f.routers[len(f.routers)-1].host.Operator.Addr(), operatorKey)
	if d.Settings != "" {
		path, err := f.writeSettings(d.Settings)
		if err != nil {
			return err
		}
		d.printLine("One more router: peridotusher serve --settings %s", path)
	}
	<-ctx.Done()
	return nil
}

// writeSettings writes the settings file of extraRouter, adds the router to the platform's host
// list and returns the file's path.
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
	return path, f.addHostAddress(extraRouter, hosts.KindRouter, "c", address.String())
}
