package faulttest

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	lossyDelay  = 30 * time.Millisecond
	lossyJitter = 60 * time.Millisecond
)

// routerFaults returns the faults and planned stops of routers.
func routerFaults() []Fault {
	return []Fault{
		{Name: "router-killed", ChatTolerance: AnyFailure, CallTolerance: AnyFailure, Begin: killRouter, End: restartRouter},
		{Name: "router-paused", ChatTolerance: AnyFailure, CallTolerance: AnyFailure, StaleConfiguration: true, Begin: pauseRouter, End: resumeRouter},
		{Name: "router-stopped", Begin: stopRouter},
		{Name: "router-replaced", Begin: replaceRouter},
	}
}

func killRouter(e *Episode) error {
	e.killed = e.router()
	e.killed.Kill()
	return nil
}

func restartRouter(e *Episode) error { return e.killed.Start() }

// pauseRouter suspends a router for longer than its leases and its peers' timeouts last.
func pauseRouter(e *Episode) error {
	e.paused = e.router()
	e.paused.Pause()
	return nil
}

func resumeRouter(e *Episode) error {
	e.paused.Resume()
	return nil
}

// stopRouter stops a router gracefully and waits for its end.
func stopRouter(e *Episode) error {
	r := e.router()
	r.Terminate()
	if err := r.Wait(); err != nil {
		e.failedStops = append(e.failedStops, errors.Wrapf(err, "router %s", r.Name))
	}
	e.bed.Unlist(r.Name)
	return nil
}

// replaceRouter starts a new router and then stops another one of the same zone.
func replaceRouter(e *Episode) error {
	r := e.router()
	next, err := e.bed.AddRouter(r.Zone)
	if err != nil {
		return err
	}
	e.setURLs()
	for deadline := time.Now().Add(startTimeout); !next.Ready(e.ctx); {
		if time.Now().After(deadline) {
			return errors.Newf("router %s is not ready: %s", next.Name, next.LogTail())
		}
		e.sleep(pollInterval)
	}
	r.Terminate()
	if err := r.Wait(); err != nil {
		e.failedStops = append(e.failedStops, errors.Wrapf(err, "router %s", r.Name))
	}
	e.bed.Unlist(r.Name)
	return nil
}
