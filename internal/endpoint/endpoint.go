// Package endpoint learns the concurrency and health of one endpoint.
package endpoint
