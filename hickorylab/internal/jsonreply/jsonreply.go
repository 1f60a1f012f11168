// Package jsonreply writes the answers of the lab's stand-ins.
package jsonreply

import (
	"encoding/json"
	"net/http"
)

// Write answers with a value.
func Write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the caller may have left
}
