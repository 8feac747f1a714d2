package org.cactusshift.pgm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.KeyId;
import org.cactusshift.internal.coordination.configsync.AccountKeyEditor;
import org.cactusshift.internal.coordination.key.ClientKey;
import org.cactusshift.internal.coordination.key.KeyHasher;

/** Creates a key for a client account and prints it once. */
public final class KeyCreateCommand implements Command {
    private static final int KEY_ID_BYTES = 4;

    @Override
    public String name() {
        return "key create";
    }

    @Override
    public String summary() {
        return "creates a key for a client account and prints it once";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommonOptions.site())
                .addOption(CommonOptions.store())
                .addOption(Option.builder()
                        .longOpt("account")
                        .hasArg()
                        .argName("ACCOUNT")
                        .desc("the client account")
                        .get())
                .addOption(Option.builder()
                        .longOpt("secret-file")
                        .hasArg()
                        .argName("FILE")
                        .desc("file with the site's secret for hashing keys, in hex")
                        .get())
                .addOption(CommonOptions.json());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        KeyHasher hasher = readKeyHasher(CommonOptions.requiredValue(line, "secret-file"));
        AccountId account = parseAccount(line);
        SecureRandom random = new SecureRandom();
        byte[] idSuffix = new byte[KEY_ID_BYTES];
        random.nextBytes(idSuffix);
        ClientKey key = KeyHasher.generate(
                KeyId.fromString(account + "-" + HexFormat.of().formatHex(idSuffix)), random);
        ConfigEdit edit = current -> AccountKeyEditor.add(current, account, key.id(), hasher.hash(key));
        try (StoreSession session = StoreSession.open(line)) {
            long version = edit.applyWithRetry(session, line, "create key " + key.id());
            console.err().println("key " + key.id() + " was added in version " + version);
            if (line.hasOption("json")) {
                console.printJson(Map.of("id", key.id(), "key", key.toBearer(), "version", version));
            } else {
                console.out().println(key.toBearer());
            }
            return ExitStatus.SUCCESS;
        }
    }

    private static AccountId parseAccount(CommandLine line) throws UsageException {
        try {
            return AccountId.fromString(CommonOptions.requiredValue(line, "account"));
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }

    private static KeyHasher readKeyHasher(String file) throws UsageException {
        try {
            return KeyHasher.fromHex(Files.readString(Path.of(file)).strip());
        } catch (IOException e) {
            throw new UsageException("--secret-file: cannot read " + file);
        } catch (IllegalArgumentException e) {
            // The cause is dropped, as its message contains the content of the file, which is a secret.
            throw new UsageException("--secret-file: " + file + " does not contain hex digits");
        }
    }
}
