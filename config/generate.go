package config

//go:generate protoc --go_out=. --go_opt=paths=source_relative config.proto
