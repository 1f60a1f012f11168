package config

import "github.com/hickoryfront/hickoryfront/core/setting"

// ProfileKeys returns the settings of a profile in order.
func ProfileKeys() []setting.Key {
	return setting.Keys(profileBindings(&Profile{}))
}

// ServiceKeys returns the settings of a service in order.
func ServiceKeys() []setting.Key {
	return setting.Keys(serviceBindings(&Service{}))
}

// WorkspaceKeys returns the settings of a workspace in order.
func WorkspaceKeys() []setting.Key {
	return setting.Keys(workspaceBindings(&Workspace{}))
}

// HostKeys returns the settings of a host entry in order.
func HostKeys() []setting.Key {
	return setting.Keys(hostBindings(&Host{}))
}

// PoolKeys returns the settings of a pool in order.
func PoolKeys() []setting.Key {
	return setting.Keys(poolBindings(&Pool{}))
}

// ParseProfile parses and checks the INI text of a profile.
func ParseProfile(name, text string) (Profile, error) {
	p := Profile{Name: name}
	err := parse(KindProfile, name, text, profileBindings(&p))
	return p, err
}

// ParseService parses and checks the INI text of a service.
func ParseService(name, text string) (Service, error) {
	s := Service{Name: name}
	if err := parse(KindService, name, text, serviceBindings(&s)); err != nil {
		return s, err
	}
	if s.Kind == ServiceModel && s.Model == "" {
		return s, invalid.New("service %q: [service] model: missing; a model service names its model", name)
	}
	return s, nil
}

// ParseWorkspace parses and checks the INI text of a workspace.
func ParseWorkspace(name, text string) (Workspace, error) {
	w := Workspace{Name: name}
	err := parse(KindWorkspace, name, text, workspaceBindings(&w))
	return w, err
}

// ParseHost parses and checks the INI text of a host entry.
func ParseHost(name, text string) (Host, error) {
	h := Host{Name: name}
	err := parse(KindHost, name, text, hostBindings(&h))
	return h, err
}

// ParsePool parses and checks the INI text of a pool.
func ParsePool(name, text string) (Pool, error) {
	p := Pool{Name: name}
	if err := parse(KindPool, name, text, poolBindings(&p)); err != nil {
		return p, err
	}
	if (p.Prefill == 0) != (p.Decode == 0) {
		return p, invalid.New("pool %q: [pool] prefill: set prefill and decode both above 0, or neither", name)
	}
	if p.LoadShare == 0 {
		return p, invalid.New("pool %q: [pool] loadShare: 0 would never load anything", name)
	}
	return p, nil
}

func parse(kind Kind, name, text string, bindings []setting.Binding) error {
	if err := setting.Parse([]byte(text), bindings); err != nil {
		return invalid.New("%s %q: %v", kind, name, err)
	}
	return nil
}

func profileBindings(p *Profile) []setting.Binding {
	return []setting.Binding{
		setting.Bind("targets", "firstToken", "2s", "time to first token", setting.Duration(&p.FirstTokenTarget)),
		setting.Bind("targets", "tokenGap", "29ms", "time between tokens", setting.Duration(&p.TokenGapTarget)),
		setting.Bind("targets", "answer", "30s", "time to the complete response of a plain call", setting.Duration(&p.ResponseTarget)),
		setting.Bind("targets", "objective", "0.95", "share of requests that must meet the targets", setting.Fraction(&p.Objective)),
		setting.Bind("admission", "class", "interactive", "interactive or deferrable", setting.OneOf(&p.Class, ClassInteractive, ClassDeferrable)),
		setting.Bind("admission", "maxWait", "1s", "longest wait for a slot before the request is refused", setting.Duration(&p.MaxWait)),
		setting.Bind("admission", "ageAfter", "30s", "wait after which a deferrable request takes turns with interactive ones", setting.Duration(&p.AgeAfter)),
		setting.Bind("admission", "goodputWeight", "1", "weight of responses within the targets", setting.Number(&p.GoodputWeight)),
		setting.Bind("admission", "wasteWeight", "1", "weight of prefill work that is not used", setting.Number(&p.WasteWeight)),
		setting.Bind("admission", "directPrompt", "64", "prompts up to this many tokens may be prefilled by a decode server", setting.Integer(&p.DirectPrompt)),
		setting.Bind("limits", "maxBodyBytes", "4194304", "largest request body", setting.Integer(&p.MaxBodyBytes)),
		setting.Bind("limits", "maxTokens", "4096", "maximum number of tokens of one response", setting.Integer(&p.MaxTokens)),
		setting.Bind("limits", "slowReader", "30s", "longest total time that writes of a completion may wait for its caller to read", setting.Duration(&p.SlowReaderTimeout)),
		setting.Bind("retry", "ratio", "0.1", "retries per first attempt of a completion, as a budget of the service on each host", setting.Fraction(&p.RetryRatio)),
		setting.Bind("retry", "horizon", "10m", "time within which a caller may retry with the same idempotency key", setting.Duration(&p.RetryHorizon)),
		setting.Bind("retry", "nonRepeatable", "POST,PATCH,DELETE", "HTTP methods of plain calls that need an idempotency key and run at most once", setting.List(&p.NonRepeatableMethods)),
		setting.Bind("retry", "silentGaps", "8", "time without a token, in multiples of tokenGap, after which a stream is resumed; at least 250ms", setting.Integer(&p.MaxSilentGaps)),
		setting.Bind("retry", "attemptTimeout", "10s", "longest run time of a plain call with an idempotency key", setting.Duration(&p.AttemptTimeout)),
		setting.Bind("legacy", "address", "", "base URL of the scripts that serve this profile's disabled services", setting.URL(&p.LegacyAddress)),
	}
}

func serviceBindings(s *Service) []setting.Binding {
	return []setting.Binding{
		setting.Bind("service", "kind", "model", "model or plain", setting.OneOf(&s.Kind, ServiceModel, ServicePlain)),
		setting.Bind("service", "model", "", "model that serves the requests of a model service", setting.Text(&s.Model)),
		setting.Bind("service", "profile", "", "profile that applies to the service", setting.Required(&s.Profile)),
		setting.Bind("service", "enabled", "true", "false sends calls to the profile's legacy address", setting.Boolean(&s.Enabled)),
	}
}

func workspaceBindings(w *Workspace) []setting.Binding {
	return []setting.Binding{
		setting.Bind("workspace", "share", "1", "weight in fair sharing between workspaces", setting.Number(&w.Share)),
	}
}

func hostBindings(h *Host) []setting.Binding {
	return []setting.Binding{
		setting.Bind("host", "drain", "false", "true makes the host refuse new requests, finish those in flight and stop", setting.Boolean(&h.Drain)),
	}
}

func poolBindings(p *Pool) []setting.Binding {
	return []setting.Binding{
		setting.Bind("pool", "model", "", "model under which the platform lists the engines", setting.Required(&p.Model)),
		setting.Bind("pool", "version", "", "version of the model to load; empty leaves the version unchanged", setting.Text(&p.Version)),
		setting.Bind("pool", "adapters", "", "adapters to load", setting.List(&p.Adapters)),
		setting.Bind("pool", "prefill", "0", "engines in the prefill role; 0 for both roles leaves the roles unchanged", setting.Integer(&p.Prefill)),
		setting.Bind("pool", "decode", "0", "engines in the decode role; if above 0, all engines without the prefill role take it", setting.Integer(&p.Decode)),
		setting.Bind("pool", "loadShare", "0.25", "largest share of the pool's engines that load weights at once; one engine always may", setting.Fraction(&p.LoadShare)),
	}
}
