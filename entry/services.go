package entry

import (
	"context"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/service"
)

// serviceHandler handles calls to plain service replicas.
type serviceHandler struct {
	host *Host
}

// Call implements caller.Services.
func (s *serviceHandler) Call(ctx context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	s.host.retries.budget.CountRequest(call.Document.Policy().RetryBudget())
	if call.Service.Idempotent(call.Method, call.Path) {
		return s.callIdempotent(ctx, call)
	}
	if call.Key != "" {
		return s.callOnce(ctx, call)
	}
	if !call.Service.AllowsCallsWithoutKey() {
		return caller.ServiceAnswer{}, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseKeyMissing, "%s %s of service %q may not be repeated; send an Idempotency-Key header", call.Method, call.Path, call.Service.Name())
	}
	return s.callNonIdempotent(ctx, call, serviceRequest(call, false))
}

// orderedReplicas returns the service's replicas that are within their request rates, those in the
// router's own zone first.
func (s *serviceHandler) orderedReplicas(call caller.ServiceCall) []document.Replica {
	var inZone, otherZones []document.Replica
	for _, r := range call.Service.Replicas() {
		if r.Zone() == s.host.Zone {
			inZone = append(inZone, r)
		} else {
			otherZones = append(otherZones, r)
		}
	}
	return s.host.rates.within(append(inZone, otherZones...))
}

func serviceRequest(call caller.ServiceCall, idempotent bool) service.Request {
	return service.Request{
		Method:     call.Method,
		Path:       call.Path,
		Query:      call.Query,
		Header:     call.Header,
		Body:       call.Body,
		Idempotent: idempotent,
		Key:        call.Key,

		OwnConnection: true,
	}
}
