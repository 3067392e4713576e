package peridotusher

import "time"

// warmupSteps is the number of steps in which a joining engine reaches its full share.
const warmupSteps = 4

// WarmupWeight returns the share of new chats that a joining engine gets at
// the given age. The share rises in equal steps to 1, a full share.
func WarmupWeight(age, warmup time.Duration) float64 {
	if age >= warmup {
		return 1
	}
	step := 1 + int(max(age, 0)*(warmupSteps-1)/warmup)
	return float64(step) / warmupSteps
}
