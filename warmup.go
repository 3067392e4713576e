package peridotusher

import "time"

// warmupSteps is the number of steps in which an engine comes to its full share.
const warmupSteps = 4

// WarmupWeight returns the share of new chats that a joining engine gets at
// the given age. It rises in equal steps to a full share.
func WarmupWeight(age, warmup time.Duration) float64 {
	if age >= warmup {
		return 1
	}
	step := 1 + int(max(age, 0)*(warmupSteps-1)/warmup)
	return float64(step) / warmupSteps
}
