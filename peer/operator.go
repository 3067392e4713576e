package peer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
)

// KindOperator asks a router where it serves operators.
const KindOperator Kind = 64

// ServeOperator makes the node tell other routers its address for operators.
// It is called before Run.
func (n *Node) ServeOperator(address string) {
	n.Handle(KindOperator, func(context.Context, peridotusher.RouterID, []byte) ([]byte, error) {
		return proto.Marshal(&OperatorAddress{Address: address})
	})
}

// OperatorOf asks a router for its address for operators.
func (n *Node) OperatorOf(ctx context.Context, to peridotusher.RouterID) (string, error) {
	var reply OperatorAddress
	if err := n.Call(ctx, to, KindOperator, &AskOperator{}, &reply); err != nil {
		return "", err
	}
	return reply.GetAddress(), nil
}
