// Package jsonreply writes the JSON responses of the stand-ins.
package jsonreply

import (
	"encoding/json"
	"net/http"
)

// Write writes a value as a JSON response.
func Write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails if the caller has disconnected
}
