/** Codec of the OpenAI HTTP API: requests, server-sent events, responses and errors. */
package org.cactusshift.internal.protocol.openai;
