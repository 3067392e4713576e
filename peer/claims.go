package peer

import (
	"context"
	"net/http"

	"google.golang.org/protobuf/proto"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
)

// KindChangeClaims is a request to change claims of a bucket.
const KindChangeClaims Kind = 24

// errResultCount means that a reply does not hold one result for each change.
var errResultCount = errors.New("number of results differs from the number of changes")

// ClaimHandler changes claims of a bucket on behalf of another router.
type ClaimHandler interface {
	ChangeClaims(ctx context.Context, bucket string, recent bool, changes []peridotusher.ClaimChange) ([]peridotusher.ClaimResult, error)
}

// HandleClaims sets the handler of changes that other routers request. It must
// be called before Run.
func (n *Node) HandleClaims(h ClaimHandler) {
	n.Handle(KindChangeClaims, func(ctx context.Context, _ peridotusher.RouterID, body []byte) ([]byte, error) {
		var msg ChangeClaims
		if err := proto.Unmarshal(body, &msg); err != nil {
			return nil, err
		}
		var changes []peridotusher.ClaimChange
		for _, c := range msg.GetChanges() {
			changes = append(changes, changeFromWire(c))
		}
		results, err := h.ChangeClaims(ctx, msg.GetBucket(), msg.GetRecent(), changes)
		if err != nil {
			return nil, err
		}
		reply := &ClaimResults{}
		for _, r := range results {
			reply.Results = append(reply.Results, resultToWire(r))
		}
		return proto.Marshal(reply)
	})
}

// ChangeClaims requests another router to change claims of a bucket.
func (n *Node) ChangeClaims(ctx context.Context, to peridotusher.RouterID, bucket string, recent bool, changes []peridotusher.ClaimChange) ([]peridotusher.ClaimResult, error) {
	msg := &ChangeClaims{Bucket: bucket, Recent: recent}
	for _, c := range changes {
		msg.Changes = append(msg.Changes, changeToWire(c))
	}
	var reply ClaimResults
	if err := n.Call(ctx, to, KindChangeClaims, msg, &reply); err != nil {
		return nil, err
	}
	if len(reply.GetResults()) != len(changes) {
		return nil, errResultCount
	}
	var results []peridotusher.ClaimResult
	for _, r := range reply.GetResults() {
		results = append(results, resultFromWire(r))
	}
	return results, nil
}

func changeToWire(c peridotusher.ClaimChange) *ClaimChange {
	return &ClaimChange{Action: uint32(c.Action), Hash: c.Hash, Claim: claimToWire(c.Claim)}
}

func changeFromWire(msg *ClaimChange) peridotusher.ClaimChange {
	return peridotusher.ClaimChange{
		Action: peridotusher.ClaimAction(msg.GetAction()),
		Hash:   msg.GetHash(),
		Claim:  claimFromWire(msg.GetClaim()),
	}
}

func resultToWire(r peridotusher.ClaimResult) *ClaimResult {
	return &ClaimResult{Done: r.Done, Full: r.Full, Present: claimToWire(r.Present), Fence: r.Fence}
}

func resultFromWire(msg *ClaimResult) peridotusher.ClaimResult {
	return peridotusher.ClaimResult{
		Done:    msg.GetDone(),
		Full:    msg.GetFull(),
		Present: claimFromWire(msg.GetPresent()),
		Fence:   msg.GetFence(),
	}
}

func claimToWire(c peridotusher.Claim) *ClaimRecord {
	msg := &ClaimRecord{Id: c.ID, Content: c.Content, State: string(c.State), Made: c.Made, Deadline: c.Deadline}
	if c.Outcome == nil {
		return msg
	}
	msg.Answer = &ClaimAnswer{Status: uint32(c.Outcome.Status), Body: c.Outcome.Body}
	for name, values := range c.Outcome.Header {
		msg.Answer.Header = append(msg.Answer.Header, &ClaimHeader{Name: name, Values: values})
	}
	return msg
}

func claimFromWire(msg *ClaimRecord) peridotusher.Claim {
	c := peridotusher.Claim{
		ID:       msg.GetId(),
		Content:  msg.GetContent(),
		State:    peridotusher.ClaimState(msg.GetState()),
		Made:     msg.GetMade(),
		Deadline: msg.GetDeadline(),
	}
	answer := msg.GetAnswer()
	if answer == nil {
		return c
	}
	c.Outcome = &peridotusher.ClaimOutcome{Status: int(answer.GetStatus()), Header: http.Header{}, Body: answer.GetBody()}
	for _, h := range answer.GetHeader() {
		c.Outcome.Header[h.GetName()] = h.GetValues()
	}
	return c
}
