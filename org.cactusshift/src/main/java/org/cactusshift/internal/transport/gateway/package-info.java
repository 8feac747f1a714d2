/** Gateway for callers: model requests in the OpenAI format and calls of plain services. */
package org.cactusshift.internal.transport.gateway;
