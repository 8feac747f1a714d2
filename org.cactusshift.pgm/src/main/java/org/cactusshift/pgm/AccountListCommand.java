package org.cactusshift.pgm;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.KeyConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.CactusshiftException;

/**
 * Lists the client accounts: as a table with the ids of their keys that are not revoked, or as JSON with their complete
 * configuration, which includes revoked keys and the hashes of all keys.
 */
public final class AccountListCommand implements Command {
    @Override
    public String name() {
        return "account list";
    }

    @Override
    public String summary() {
        return "lists the client accounts in the store or in files";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommonOptions.site())
                .addOption(CommonOptions.store())
                .addOption(CommonOptions.base())
                .addOption(CommonOptions.overlay())
                .addOption(CommonOptions.json());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        List<AccountConfig> accounts = loadAccounts(line);
        if (line.hasOption("json")) {
            console.printJson(accounts);
            return ExitStatus.SUCCESS;
        }
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("account", "weight", "tokens/s", "requests", "keys"));
        accounts.forEach(account -> rows.add(List.of(
                account.id().value(),
                Double.toString(account.weight()),
                Long.toString(account.tokensPerSecond()),
                Integer.toString(account.maximumConcurrentRequests()),
                unrevokedKeyIds(account))));
        console.printTable(rows);
        return ExitStatus.SUCCESS;
    }

    private static List<AccountConfig> loadAccounts(CommandLine line) throws UsageException, CactusshiftException {
        if (!line.hasOption("store")) {
            return CommonOptions.loadFiles(line).accounts();
        }
        try (StoreSession session = StoreSession.open(line)) {
            SiteConfig config = session.readCurrent().config();
            return config.accounts();
        }
    }

    private static String unrevokedKeyIds(AccountConfig account) {
        return account.keys().stream()
                .filter(key -> !key.withdrawn())
                .map(KeyConfig::id)
                .map(Object::toString)
                .collect(Collectors.joining(" "));
    }
}
