package intent

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

var validate = newValidator()

// newValidator returns a validator that reports fields by their JSON names and
// knows the tag "name".
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	matchesName := func(fl validator.FieldLevel) bool {
		return namePattern.MatchString(fl.Field().String())
	}
	// Registration fails only for an empty tag or a nil function.
	if err := v.RegisterValidation("name", matchesName); err != nil {
		panic(err)
	}
	return v
}

// Check validates a document. It returns nil or an *InvalidError with all
// violations.
func Check(d *Document) error {
	violations := fieldViolations(d)
	violations = append(violations, referenceViolations(d)...)
	if len(violations) == 0 {
		return nil
	}
	return &InvalidError{Violations: violations}
}

// fieldViolations checks the fields by their validate tags.
func fieldViolations(d *Document) []Violation {
	var invalid validator.ValidationErrors
	if err := validate.Struct(d); !errors.As(err, &invalid) {
		return nil
	}
	violations := make([]Violation, 0, len(invalid))
	for _, f := range invalid {
		path := strings.TrimPrefix(f.Namespace(), "Document.")
		violations = append(violations, Violation{Path: path, Problem: problemText(f)})
	}
	return violations
}

// problemText says which rule a field breaks.
func problemText(f validator.FieldError) string {
	switch f.Tag() {
	case "required", "required_if":
		return "is missing"
	case "name":
		return fmt.Sprintf("%q is not a name: lower-case letters, digits, '.', '_' and '-' are allowed", f.Value())
	case "unique":
		return "holds a name twice"
	case "min":
		return fmt.Sprintf("must be at least %s", f.Param())
	case "max":
		return fmt.Sprintf("must be at most %s", f.Param())
	case "oneof":
		return "must be one of: " + f.Param()
	default:
		return strings.TrimSpace("must satisfy " + f.Tag() + " " + f.Param())
	}
}

// referenceViolations checks that the pools' models and the services' pools are
// defined in the document.
func referenceViolations(d *Document) []Violation {
	models := make(map[string]bool, len(d.Models))
	for _, m := range d.Models {
		models[m.Name] = true
	}
	kinds := make(map[string]Kind, len(d.Pools))
	var violations []Violation
	for i, p := range d.Pools {
		kinds[p.Name] = p.Kind
		if p.Kind == Engine && p.Model != "" && !models[p.Model] {
			path := fmt.Sprintf("pools[%d].model", i)
			violations = append(violations, Violation{Path: path, Problem: fmt.Sprintf("there is no model %q", p.Model)})
		}
	}
	for i, s := range d.Services {
		if kinds[s.Pool] != PlainService {
			path := fmt.Sprintf("services[%d].pool", i)
			violations = append(violations, Violation{Path: path, Problem: fmt.Sprintf("there is no pool %q of kind service", s.Pool)})
		}
	}
	return violations
}
