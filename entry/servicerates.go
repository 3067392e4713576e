package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/ratelimit"
	"peridotusher.example/peridotusher/service"
)

// ratesInterval is the time between two broadcasts of the request rates while any is known.
const ratesInterval = 500 * time.Millisecond

// serviceRates keeps to the request rates that the replicas of plain services state in their answers. The
// methods of a nil *serviceRates limit nothing.
type serviceRates struct {
	table   *ratelimit.Table
	limiter *ratelimit.Limiter
	publish func(rates []ratelimit.Statement)
}

// buildRates creates the table of request rates, which the routers keep alike.
func (h *Host) buildRates() {
	table := ratelimit.NewTable(h.Clock)
	h.rates = &serviceRates{
		table:   table,
		limiter: &ratelimit.Limiter{Table: table, Clock: h.Clock, Share: h.routerShare},
		publish: h.sendRates,
	}
	h.node.HandleRates(func(rates []ratelimit.Statement) { h.rates.table.Merge(rates) })
}

// sendRates sends request rates to the other routers.
func (h *Host) sendRates(rates []ratelimit.Statement) {
	if len(rates) == 0 {
		return
	}
	if err := h.node.SendRates(rates); err != nil {
		h.Log.WithError(err).Error("request rates not encoded")
	}
}

// broadcastRates sends all known request rates to the other routers at regular intervals, so that one
// that has started learns them, and removes outdated ones.
func (h *Host) broadcastRates(ctx context.Context) error {
	return every(ctx, ratesInterval, func(context.Context) {
		h.rates.table.Expire()
		h.rates.limiter.Expire()
		h.sendRates(h.rates.table.All())
	})
}

// routerShare returns this router's rank in the rendezvous order of the live routers for a key, and
// their number.
func (h *Host) routerShare(key uint64) (rank, routers int, known bool) {
	own := routerScore(key, h.Name)
	for _, m := range h.members.All() {
		if m.State() != peridotusher.MemberLive || string(m.ID()) == h.Name {
			continue
		}
		routers++
		if routerScore(key, string(m.ID())) < own {
			rank++
		}
	}
	return rank, routers + 1, true
}

// routerScore returns a router's score in the rendezvous order for a key.
func routerScore(key uint64, router string) uint64 {
	d := xxhash.NewWithSeed(key)
	_, _ = d.WriteString(router) // a hash never returns an error
	return d.Sum64()
}

// replicaHash identifies a replica in request rates.
func replicaHash(r document.Replica) uint32 { return uint32(xxhash.Sum64String(r.Address())) }

// within returns the replicas to which this router may send a call now.
func (s *serviceRates) within(replicas []document.Replica) []document.Replica {
	if s == nil {
		return replicas
	}
	return slices.DeleteFunc(replicas, func(r document.Replica) bool { return !s.limiter.Allowed(replicaHash(r)) })
}

// take takes a token for a call that is about to be sent, or returns a failure.
func (s *serviceRates) take(r document.Replica) error {
	if s == nil || s.limiter.Take(replicaHash(r)) {
		return nil
	}
	return peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseOverloaded, "the replica accepts no more requests now")
}

// refusal returns the failure of a call for which no replica has a token.
func (s *serviceRates) refusal(call caller.ServiceCall) error {
	var hashes []uint32
	for _, r := range call.Service.Replicas() {
		hashes = append(hashes, replicaHash(r))
	}
	after := s.limiter.RetryAfter(call.Service.Name(), hashes)
	f := peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseOverloaded, "all replicas of service %q are at their request rates", call.Service.Name())
	return f.WithRetryAfter(after)
}

// recordRate records what an answer says about the rate that its replica accepts, and publishes it if it
// is new.
func (h *Host) recordRate(r document.Replica, response service.Response, sentAt time.Time) {
	if h.rates == nil {
		return
	}
	rate, limited, err := response.RequestRate()
	if err != nil {
		h.Log.WithError(err).WithField("endpoint", r.Address()).Debug("malformed request rate")
		return
	}
	news := h.rates.table.Record(ratelimit.Answer{Replica: replicaHash(r), Rate: rate, Limited: limited, SentAt: sentAt})
	for _, s := range news {
		h.Log.WithFields(logrus.Fields{"endpoint": r.Address(), "limited": s.Limited, "rate": s.Rate}).Warn("request rate of replica changed")
	}
	h.rates.publish(news)
}
