package demo

import (
	"context"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

func TestDemoSucceeds(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &Demo{Out: testWriter{t}, Log: log, Seed: 1}
	if err := d.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// testWriter writes to the test's log.
type testWriter struct{ t *testing.T }

// Write implements io.Writer.
func (w testWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s", p)
	return len(p), nil
}
