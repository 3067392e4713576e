//go:build race

package edge

// largeFleet is smaller than without the race detector, whose runtime fails a check of its
// own now and then with the goroutines of 82 routers.
const largeFleet = 30
