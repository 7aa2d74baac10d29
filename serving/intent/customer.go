package intent

// Customer is a tenant whose requests are served.
type Customer struct {
	// Name names the customer.
	Name string `json:"name" validate:"required,max=63,name"`
	// CredentialSHA256 is the SHA-256 of the customer's credential, in lower
	// case hexadecimal.
	CredentialSHA256 string `json:"credential_sha256" validate:"required,len=64,hexadecimal,lowercase"`
	// Share is the weight of the customer when capacity is short.
	Share int `json:"share" validate:"min=1,max=1000000"`
	// RequestsPerSecond limits the customer's requests over all gateways; 0
	// means no limit.
	RequestsPerSecond float64 `json:"requests_per_second" validate:"min=0"`
	// MaxConcurrent limits the customer's requests in progress over all
	// gateways; 0 means no limit.
	MaxConcurrent int `json:"max_concurrent" validate:"min=0"`
}
