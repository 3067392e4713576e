// Package settings reads the settings of one router process: its name, its
// availability zone, its listeners and the addresses of the platform.
//
// # Usage
//
//	cfg, problems := settings.Load("router.ini")
//	if len(problems) > 0 {
//		// every problem has the file, the line and the allowed values
//	}
//	listener, err := net.Listen("tcp", cfg.Caller().Listen())
//
// Reference returns the Markdown tables of all keys for the operators' guide.
package settings
