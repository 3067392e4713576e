package entry

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/service"
)

// sendResult is the result of one call to one replica.
type sendResult struct {
	answer caller.ServiceAnswer
	err    error
}

// callNonIdempotent sends a call that must not run twice. It is sent to another
// replica only if it certainly did not run at the previous one.
func (s *serviceHandler) callNonIdempotent(ctx context.Context, call caller.ServiceCall, req service.Request) (caller.ServiceAnswer, error) {
	last := sendResult{err: s.noReplicasError(call)}
	for n, replica := range s.orderedReplicas(call) {
		if n > 0 && !s.consumeRetry(ctx, call) {
			break
		}
		last = s.send(ctx, replica, req)
		if last.err == nil || peridotusher.AsFailure(last.err).Verdict() != peridotusher.NotRun {
			break
		}
	}
	return last.answer, last.err
}

// callIdempotent sends a call that may run more than once: to another replica when
// one fails, and as a hedge to a second one when the first is slower than usual. It
// returns the first answer and cancels the other attempts.
func (s *serviceHandler) callIdempotent(ctx context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	replicas := s.orderedReplicas(call)
	if len(replicas) == 0 {
		return caller.ServiceAnswer{}, s.noReplicasError(call)
	}
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan sendResult, len(replicas))
	open := 0
	launch := func() {
		replica := replicas[0]
		replicas = replicas[1:]
		open++
		group.Go(func() error {
			results <- s.send(ctx, replica, serviceRequest(call, true))
			return nil
		})
	}
	started := s.host.Clock.Now()
	hedge, stopHedge := s.hedgeTimer(call)
	defer stopHedge()
	launch()
	for {
		select {
		case <-hedge:
			if len(replicas) > 0 && s.consumeRetry(ctx, call) {
				launch()
			}
		case r := <-results:
			open--
			if r.err == nil {
				s.host.retries.latencies.of(call.Service.Name()).Add(s.host.Clock.Now().Sub(started))
				return r.answer, nil
			}
			if len(replicas) > 0 && s.consumeRetry(ctx, call) {
				launch()
			}
			if open == 0 {
				return r.answer, r.err
			}
		}
	}
}

// hedgeTimer returns a channel that fires once the call takes longer than the
// policy's hedge percentile of recent calls, and a function that stops the timer.
func (s *serviceHandler) hedgeTimer(call caller.ServiceCall) (<-chan time.Time, func() bool) {
	latency, ok := s.host.retries.latencies.of(call.Service.Name()).Percentile(call.Document.Policy().HedgePercentile())
	if !ok {
		return nil, func() bool { return false }
	}
	timer := time.NewTimer(latency)
	return timer.C, timer.Stop
}

// consumeRetry takes one retry from the budget, unless ctx has ended, and returns
// whether it may be made.
func (s *serviceHandler) consumeRetry(ctx context.Context, call caller.ServiceCall) bool {
	return ctx.Err() == nil && s.host.retries.budget.TryRetry(call.Document.Policy().RetryBudget())
}

// send sends the call to one replica.
func (s *serviceHandler) send(ctx context.Context, replica document.Replica, req service.Request) sendResult {
	answer := caller.ServiceAnswer{Endpoint: replica.Address()}
	if err := s.host.rates.take(replica); err != nil {
		return sendResult{answer, err}
	}
	req.Departed = func() bool { return hasDeparted(s.host.Document(), replica) }
	sentAt := s.host.Clock.Now()
	response, err := s.host.serviceClient.Call(ctx, replica.Address(), req)
	if err != nil {
		return sendResult{answer, err}
	}
	s.host.recordRate(replica, response, sentAt)
	if req.Fence != 0 && response.Status == http.StatusPreconditionFailed {
		return sendResult{answer, fencedError()}
	}
	answer.Status, answer.Header, answer.Body = response.Status, response.Header, response.Body
	return sendResult{answer, nil}
}

// noReplicasError returns the failure of a call for which no replica can be used.
func (s *serviceHandler) noReplicasError(call caller.ServiceCall) error {
	if s.host.rates != nil && len(call.Service.Replicas()) > 0 {
		return s.host.rates.refusal(call)
	}
	return peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseNoEndpoint, "service %q has no replicas", call.Service.Name())
}

// fencedError returns the Failure of a call that the endpoint refused because of its
// fencing number.
func fencedError() error {
	f := peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseFenced, "the endpoint has run a call that was claimed later; send the call again")
	return f.WithRetryAfter(claimRetryAfter)
}
