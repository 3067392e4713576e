package peer

//go:generate protoc --go_out=. --go_opt=paths=source_relative envelope.proto heartbeat.proto permit.proto health.proto operator.proto claims.proto streams.proto digest.proto
