package registry

// Apply applies a configuration document as if the store had returned it.
func (r *Registry) Apply(document []byte) {
	r.applyDocument(document, "store")
}
