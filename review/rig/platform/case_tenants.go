package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["tenants"] = playTenants }

// The keys of the cases: two that the first version holds and one that none ever holds. The later version may
// drop the first.
const (
	heldKey    = "n2ctnfzs989anu6wsjnb"
	keptKey    = "anfqasnmgkcuyj8pjbvk"
	unknownKey = "zz0000000000000000zz"
)

// oneTenant returns the tenants of a configuration with one tenant.
func oneTenant(keys ...string) []any {
	return []any{map[string]any{"name": "hule930", "api-keys": keys, "priority": 1}}
}

// playTenants takes away the keys of the only tenant with a new version. Without the disruption that version
// keeps the tenant and adds a route.
func playTenants(s *stage) (bool, error) {
	const configBound = 2 * time.Second
	runs := &ledger{}
	save := route("r-save", "/save/", "non_idempotent", 1000, 1)
	save["public"] = false
	tenants := oneTenant(heldKey)
	s.putVersion(7, tenants, save)
	if _, err := s.startReplicas(3, 6, runs, func(_ *replica, r *http.Request) reply {
		return reply{status: http.StatusOK, work: 15 * time.Millisecond, body: "saved for " + r.Header.Get("X-Tenant")}
	}); err != nil {
		return false, err
	}
	seeds := []string{hostIP(1), hostIP(2)}
	first, err := s.newRouter(1, seeds, smallBounds)
	if err != nil {
		return false, err
	}
	second, err := s.newRouter(2, seeds, smallBounds)
	if err != nil {
		return false, err
	}
	if err := awaitReady(first, second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // stable-window-ms
	c := newClients(first, second)
	routers := []*router{first, second}
	keys := []string{heldKey, unknownKey}
	play := func(name string) {
		c.pace(20, 4*time.Second, func(i int) {
			c.sendWithKey(routers[i%2], http.MethodPost, fmt.Sprintf("/save/%s/%d", name, i), "measurements", time.Second, keys[i/2%2])
		})
	}
	play("before")
	if s.trouble {
		s.putVersion(9, []any{}, save)
	} else {
		s.putVersion(9, tenants, save, route("r-more", "/more/", "idempotent", 1000, 2))
	}
	s.say("version 9 is acknowledged")
	time.Sleep(configBound + time.Second)
	from := time.Now()
	play("after")
	ran := make(map[string]run)
	for _, r := range runs.all() {
		ran[r.attempt] = r
	}
	unknown, dropped := 0, 0
	for _, a := range c.all() {
		_, hasRun := ran[a.attempt]
		s.note("attempt %s %s key %s status %d ran %v", a.attempt, a.operation, a.key, a.status, hasRun)
		switch {
		case hasRun && a.key == unknownKey:
			unknown++
		case hasRun && s.trouble && a.key == heldKey && a.sentAt.After(from):
			dropped++
		}
	}
	s.say("%d attempts, answers by status %s", len(c.all()), countByStatus(c.all()))
	s.say("ran with a key that no version ever held: %d; ran with a dropped key later than config-ms after the ack: %d", unknown, dropped)
	return unknown+dropped > 0, nil
}
