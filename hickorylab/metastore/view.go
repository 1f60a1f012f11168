package metastore

import (
	"encoding/json"
	"net/http"
	"strings"
)

// View serves a store to one caller with other values of some keys.
type View struct {
	Store *Store
	// Prefix is that of the keys concerned.
	Prefix string
	// Rewrite returns the value that the caller sees.
	Rewrite func(value []byte) []byte
}

// ServeHTTP implements http.Handler.
func (v View) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response := newBufferedResponse()
	v.Store.ServeHTTP(response, r)
	for name, values := range response.header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.status)
	_, _ = w.Write(v.rewrite(response.body.Bytes())) // the caller may have disconnected
}

// rewrite rewrites the items and events in the body of a response.
func (v View) rewrite(body []byte) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return body
	}
	for _, name := range []string{"items", "events"} {
		var items []item
		if json.Unmarshal(fields[name], &items) != nil {
			continue
		}
		for i, current := range items {
			if strings.HasPrefix(current.Key, v.Prefix) && !current.Tombstone {
				items[i].Value = v.Rewrite(current.Value)
			}
		}
		fields[name] = encode(items)
	}
	return encode(fields)
}

func encode(value any) json.RawMessage {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the value was decoded from JSON
	}
	return text
}
