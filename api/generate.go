// Package api holds the administration API: its OpenAPI document and, in oas, the
// server and client that ogen generates from it.
package api

//go:generate go tool ogen --config ogen.yml --target oas --package oas --clean openapi.yaml
