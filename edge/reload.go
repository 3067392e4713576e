package edge

import (
	"bytes"
	"context"
	"os"
	"time"
)

// reloadInterval is the interval at which the settings file is checked for changes.
const reloadInterval = 2 * time.Second

// followSettings applies changes of the settings file until ctx ends, at once if Hangup receives a
// signal. Seeds and bounds change; the other settings require a restart.
func (r *Router) followSettings(ctx context.Context) error {
	if r.SettingsPath == "" {
		return nil
	}
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	loaded := r.Settings.text
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-r.Hangup:
			r.Log.Event("signal", "name", s.String())
		case <-tick.C:
		}
		r.countWakeUp("settings")
		text, err := os.ReadFile(r.SettingsPath)
		if err != nil {
			r.Log.Event("reload", "path", r.SettingsPath, "error", err)
			continue
		}
		if bytes.Equal(text, loaded) {
			continue
		}
		loaded = text
		r.reload(text)
	}
}

// reload applies changed settings. A file with problems changes nothing.
func (r *Router) reload(text []byte) {
	s, problems := Parse(r.SettingsPath, text)
	for _, p := range problems {
		r.Log.Event("reload", "path", r.SettingsPath, "problem", p.Message())
	}
	if s == nil {
		return
	}
	r.node.SetSeeds(r.seeds(s))
	r.bounds.Store(&s.bounds)
	r.Log.Event("reload", "path", r.SettingsPath)
}
