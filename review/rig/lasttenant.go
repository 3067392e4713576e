package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["last-tenant"] = lastTenant }

// lastTenant takes away the keys of the only tenant, by a version of the configuration whose list of
// tenants is empty, and sends requests with a key that no configuration ever held.
func lastTenant(rec *recorder, trouble bool) (string, error) {
	f, err := newFleet(rec)
	if err != nil {
		return "", err
	}
	defer f.end()
	if err := f.addReplicas("profiles", 3, 6, func(x *arrival) bool {
		x.ran(fmt.Sprintf("runs, tenant %q", x.Header.Get("X-Tenant")))
		x.status(http.StatusOK, nil, []byte("saved "+x.id))
		return true
	}); err != nil {
		return "", err
	}
	routes := []route{{Name: "save", Host: host, Prefix: "/save/", Service: "profiles", Kind: "non_idempotent", TimeoutMs: 1000, TargetMs: 120, MaxAttempts: 1}}
	f.store.put("op/config", configuration(7, []string{"profiles"}, routes))
	f.addRouters(3)
	if err := f.startAll(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		var doc map[string]any
		_ = json.Unmarshal(configuration(9, []string{"profiles"}, routes), &doc)
		doc["tenants"] = []any{}
		text, _ := json.Marshal(doc)
		f.store.put("op/config", text)
		rec.add("the operator writes version 9 without tenants")
	}
	time.Sleep(3 * time.Second)
	ran := 0
	for i := range 12 {
		a := newAttempt(http.MethodPost, fmt.Sprintf("/save/%d", i), 1000)
		a.key = "never-in-any-configuration"
		a.body = "{}"
		a.send(rec, f.routers[i%3].front)
		if a.status == http.StatusOK {
			ran++
		}
	}
	if ran > 0 {
		return fmt.Sprintf("%d of 12 requests ran whose key no configuration ever held", ran), nil
	}
	return "", nil
}
