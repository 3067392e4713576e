package peer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
)

// KindTakeOver tells a router that another one sends its stream on.
const KindTakeOver Kind = 25

// HandleTakeOver sets the function that gives up a stream. It is called before Run.
func (n *Node) HandleTakeOver(giveUp func(engine peridotusher.EngineID, stream string)) {
	n.Handle(KindTakeOver, func(_ context.Context, _ peridotusher.RouterID, body []byte) ([]byte, error) {
		var msg TakeOverStream
		if err := proto.Unmarshal(body, &msg); err != nil {
			return nil, err
		}
		giveUp(peridotusher.EngineID(msg.GetEngine()), msg.GetStream())
		return nil, nil
	})
}

// TakeOver tells a router to give up a stream and waits until it has.
func (n *Node) TakeOver(ctx context.Context, to peridotusher.RouterID, engine peridotusher.EngineID, stream string) error {
	return n.Call(ctx, to, KindTakeOver, &TakeOverStream{Engine: string(engine), Stream: stream}, nil)
}
