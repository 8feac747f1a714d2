/** The callers' interface: models in the OpenAI form and plain services. */
package org.cactusshift.internal.transport.gateway;
