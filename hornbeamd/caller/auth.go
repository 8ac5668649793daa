package caller

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/outcome"
)

// authenticate returns the client account that the request's API key belongs to.
func authenticate(r *http.Request, p policy.Policy) (policy.Account, error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return policy.Account{}, newRefusal(outcome.BadAPIKey, http.StatusUnauthorized,
			"the request has no key", "send the key as Authorization: Bearer KEY")
	}
	// A router that has just started has no configuration and therefore knows no keys. The error is
	// retryable, since the key may be valid.
	if p.Revision == 0 && len(p.Accounts) == 0 {
		e := newRefusal(outcome.Isolated, http.StatusServiceUnavailable,
			"the router has no configuration yet", "send the request again, or to another router")
		e.RetryAfter = time.Second
		return policy.Account{}, e
	}
	account, ok := p.AccountByKey(key)
	if !ok {
		return policy.Account{}, newRefusal(outcome.BadAPIKey, http.StatusUnauthorized,
			"the key is not known", "check the key with the operator")
	}
	return account, nil
}

// findModel returns a model that the client account may use. The error for a model that the account
// may not use is the same as for an unknown model.
func findModel(p policy.Policy, account policy.Account, name, adapter string) (policy.Model, error) {
	model, ok := p.Models[name]
	if !ok || !allowed(account.Models, name) {
		return policy.Model{}, newRefusal(outcome.UnknownModel, http.StatusNotFound,
			"the model "+truncate(name)+" does not exist or is not open to the account", "choose a model from GET /v1/models")
	}
	if adapter != "" && !slices.Contains(model.Adapters, adapter) {
		return policy.Model{}, newRefusal(outcome.UnknownModel, http.StatusNotFound,
			"the model "+truncate(name)+" has no adapter "+truncate(adapter), "choose a model from GET /v1/models")
	}
	return model, nil
}

// findService returns a service that the client account may use.
func findService(p policy.Policy, account policy.Account, name string) (policy.Service, error) {
	service, ok := p.Services[name]
	if !ok || !allowed(account.Services, name) {
		return policy.Service{}, newRefusal(outcome.UnknownService, http.StatusNotFound,
			"the service "+truncate(name)+" does not exist or is not open to the account", "check the name of the service")
	}
	return service, nil
}

// allowed reports whether an account's list of models or services contains a name or the wildcard
// "*".
func allowed(names []string, name string) bool {
	return slices.Contains(names, name) || slices.Contains(names, "*")
}

// truncate shortens text of a caller's request for an error message.
func truncate(text string) string {
	const limit = 80
	if len(text) > limit {
		return text[:limit]
	}
	return text
}
