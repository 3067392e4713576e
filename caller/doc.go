// Package caller is the HTTP server for the callers of the fleet. It serves the
// chat-completions API, the plain services and the load balancer's health checks.
//
// # Usage
//
//	server := &caller.Server{
//		Listener: listener,
//		Chats:    chats,
//		Services: services,
//		Document: currentDocument,
//	}
//	err := server.Run(ctx)
//
// Routes: POST /v1/chat/completions, GET /v1/models,
// any method on /services/{service}/{path...}, GET /healthz and GET /readyz.
// Every failed answer carries the header X-Verdict and an error object with
// the fields message, type, code and verdict.
package caller
