package peer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
)

// KindTakeOver requests a router to abandon a stream, because another router
// continues it.
const KindTakeOver Kind = 25

// HandleTakeOver sets the function that abandons a stream. It must be called before
// Run.
func (n *Node) HandleTakeOver(abandon func(engine peridotusher.EngineID, stream string)) {
	n.Handle(KindTakeOver, func(_ context.Context, _ peridotusher.RouterID, body []byte) ([]byte, error) {
		var msg TakeOverStream
		if err := proto.Unmarshal(body, &msg); err != nil {
			return nil, err
		}
		abandon(peridotusher.EngineID(msg.GetEngine()), msg.GetStream())
		return nil, nil
	})
}

// TakeOver requests a router to abandon a stream and waits until it has done so.
func (n *Node) TakeOver(ctx context.Context, to peridotusher.RouterID, engine peridotusher.EngineID, stream string) error {
	return n.Call(ctx, to, KindTakeOver, &TakeOverStream{Engine: string(engine), Stream: stream}, nil)
}
