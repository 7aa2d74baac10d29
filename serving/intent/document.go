package intent

// Document is the intent of one member: all that it wants served. A later
// document of the member replaces the earlier one as a whole.
type Document struct {
	// Member names the organisation that owns the document.
	Member string `json:"member" validate:"required,max=63,name"`
	// Models are the models to be served.
	Models []Model `json:"models" validate:"max=256,unique=Name,dive"`
	// Pools are the groups of interchangeable upstreams.
	Pools []Pool `json:"pools" validate:"required,max=256,unique=Name,dive"`
	// Services are the plain services.
	Services []Service `json:"services" validate:"max=256,unique=Name,dive"`
	// Customers are the tenants whose requests are served.
	Customers []Customer `json:"customers" validate:"required,max=10000,unique=Name,dive"`
	// Budget is the member's slice of the common budget.
	Budget Budget `json:"budget"`
}
