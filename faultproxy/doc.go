// Package faultproxy implements a TCP proxy that delays, stalls, silences and resets
// the connections between two processes.
//
// # Usage
//
//	proxy := &faultproxy.Proxy{Listener: listener, Target: "127.0.0.1:7001", Seed: 1}
//	group.Go(func() error { return proxy.Run(ctx) })
//	proxy.Set(faultproxy.Fault{Delay: 5 * time.Millisecond, Jitter: time.Millisecond})
//	proxy.SilenceOpen()
package faultproxy
