// Package settings reads the settings of one router process: its name, its
// availability zone, its listeners and the addresses of the platform.
//
// # Usage
//
//	cfg, problems := settings.Load("router.ini")
//	if len(problems) > 0 {
//		// every problem names file, line and what is allowed
//	}
//	listener, err := net.Listen("tcp", cfg.Caller().Listen())
//
// Reference returns the table of all keys for the manual.
package settings
