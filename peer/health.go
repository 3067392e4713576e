package peer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
)

// KindHealth reports the outcomes of a router's requests to a zone's engines.
const KindHealth Kind = 48

// EngineVerdict lists which engines of a zone are ejected or get a reduced
// share of new chats. It is decided by the router that coordinates the zone.
type EngineVerdict struct {
	Ejected []peridotusher.EngineID
	Weights map[peridotusher.EngineID]float64 // share of new chats, for engines below a full one
}

// HealthHandler evaluates the outcomes that other routers report.
type HealthHandler interface {
	// RecordOutcomes records a router's outcomes and returns the zone's present verdict.
	RecordOutcomes(from peridotusher.RouterID, outcomes []peridotusher.EngineOutcome) EngineVerdict
}

// HandleHealth sets the handler of reported outcomes. It must be called before
// Run.
func (n *Node) HandleHealth(h HealthHandler) {
	n.Handle(KindHealth, func(_ context.Context, from peridotusher.RouterID, body []byte) ([]byte, error) {
		var msg EngineOutcomes
		if err := proto.Unmarshal(body, &msg); err != nil {
			return nil, err
		}
		return proto.Marshal(verdictToWire(h.RecordOutcomes(from, outcomesFromWire(&msg))))
	})
}

// ReportOutcomes sends this router's outcomes at the engines to a router and
// returns its verdict.
func (n *Node) ReportOutcomes(ctx context.Context, to peridotusher.RouterID, outcomes []peridotusher.EngineOutcome) (EngineVerdict, error) {
	var reply EngineVerdicts
	if err := n.Call(ctx, to, KindHealth, outcomesToWire(outcomes), &reply); err != nil {
		return EngineVerdict{}, err
	}
	return verdictFromWire(&reply), nil
}

func outcomesToWire(outcomes []peridotusher.EngineOutcome) *EngineOutcomes {
	msg := &EngineOutcomes{}
	for _, o := range outcomes {
		msg.Outcomes = append(msg.Outcomes, &EngineOutcome{
			Engine:     string(o.Engine),
			Model:      o.Model,
			Version:    o.Version,
			Class:      o.Class,
			Requests:   int64(o.Requests),
			Errors:     int64(o.Errors),
			Answered:   int64(o.Answered),
			FirstToken: o.FirstToken.Microseconds(),
		})
	}
	return msg
}

func outcomesFromWire(msg *EngineOutcomes) []peridotusher.EngineOutcome {
	var outcomes []peridotusher.EngineOutcome
	for _, o := range msg.GetOutcomes() {
		outcomes = append(outcomes, peridotusher.EngineOutcome{
			OutcomeKey: peridotusher.OutcomeKey{
				Engine:  peridotusher.EngineID(o.GetEngine()),
				Model:   o.GetModel(),
				Version: o.GetVersion(),
				Class:   o.GetClass(),
			},
			Requests:   int(o.GetRequests()),
			Errors:     int(o.GetErrors()),
			Answered:   int(o.GetAnswered()),
			FirstToken: time.Duration(o.GetFirstToken()) * time.Microsecond,
		})
	}
	return outcomes
}

func verdictToWire(v EngineVerdict) *EngineVerdicts {
	msg := &EngineVerdicts{}
	for _, id := range v.Ejected {
		msg.Ejected = append(msg.Ejected, string(id))
	}
	for id, weight := range v.Weights {
		msg.Weights = append(msg.Weights, &EngineWeight{Engine: string(id), Weight: weight})
	}
	return msg
}

func verdictFromWire(msg *EngineVerdicts) EngineVerdict {
	v := EngineVerdict{Weights: map[peridotusher.EngineID]float64{}}
	for _, id := range msg.GetEjected() {
		v.Ejected = append(v.Ejected, peridotusher.EngineID(id))
	}
	for _, w := range msg.GetWeights() {
		v.Weights[peridotusher.EngineID(w.GetEngine())] = w.GetWeight()
	}
	return v
}
