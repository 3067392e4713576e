package peer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
)

// KindOperator requests the address at which a router serves operators.
const KindOperator Kind = 64

// SetOperatorAddress sets the address at which this router serves operators, which
// the node reports to other routers. It must be called before Run.
func (n *Node) SetOperatorAddress(address string) {
	n.Handle(KindOperator, func(context.Context, peridotusher.RouterID, []byte) ([]byte, error) {
		return proto.Marshal(&OperatorAddress{Address: address})
	})
}

// OperatorAddress returns the address at which a router serves operators.
func (n *Node) OperatorAddress(ctx context.Context, to peridotusher.RouterID) (string, error) {
	var reply OperatorAddress
	if err := n.Call(ctx, to, KindOperator, &AskOperator{}, &reply); err != nil {
		return "", err
	}
	return reply.GetAddress(), nil
}
